// Package admission adapts the lowest priority that an overloaded server admits.
package admission
