package main

import (
	"os"

	"github.com/papayapath/papayapath/internal/lab/program"
)

func main() { os.Exit(program.Main(os.Args[1:])) }
