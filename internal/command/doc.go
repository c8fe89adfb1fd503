// Package command implements the subcommands of papayapath.
package command
