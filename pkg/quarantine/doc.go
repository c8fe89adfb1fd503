// Package quarantine keeps requests that may crash backend servers from doing
// so again and again.
package quarantine
