// Command harness3 plays the cases of the third review with processes of the project and
// stand-ins on loopback addresses.
//
// It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case could not
// run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// errBroken means that a rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by their names.
var cases = map[string]func(record *recorder, folder string, trouble bool) error{
	"writer":  playWriter,
	"poison":  playPoison,
	"reader":  playReader,
	"failure": playFailure,
	"limits":  playLimits,
}

func main() {
	err := play()
	switch {
	case errors.Is(err, errBroken):
		fmt.Println(err)
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "harness3:", err)
		os.Exit(2)
	}
	fmt.Println("the rule held")
}

func play() error {
	if len(os.Args) != 3 {
		return errors.New("usage: harness3 CASE FOLDER")
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		return fmt.Errorf("no case %q", os.Args[1])
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "harness3-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a temporary folder
	err = run(record, folder, os.Getenv("TROUBLE") != "0")
	record.note("result: %v", err)
	return err
}
