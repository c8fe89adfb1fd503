// Command papayapath runs and operates the nodes of an overload control layer.
//
// Run "papayapath help" for the list of commands. Exit codes are listed in
// docs/commands.md.
package main

import (
	"os"

	"github.com/papayapath/papayapath/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
