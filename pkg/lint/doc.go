// Package lint finds what is wrong with a configuration before it is put in force, and how
// it differs from the one that is.
package lint
