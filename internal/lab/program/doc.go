// Package program implements the subcommands of lab.
package program
