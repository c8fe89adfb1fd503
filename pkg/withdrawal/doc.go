// Package withdrawal remembers the requests that were withdrawn while they ran.
package withdrawal
