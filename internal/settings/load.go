package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
)

// Load reads a settings file. It returns a *FileError if the file can't be
// read, is no JSON with comments, or has a field that is not known.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{file: file, cause: err}
	}
	data, err = hujson.Standardize(data)
	if err != nil {
		return nil, &FileError{file: file, cause: err}
	}
	var s Settings
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, &FileError{file: file, cause: err}
	}
	return &s, nil
}

// FileError reports a settings file that can't be used.
type FileError struct {
	file  string
	cause error
}

// Error names the file and the fault.
func (e *FileError) Error() string { return fmt.Sprintf("settings: %s: %v", e.file, e.cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.cause }
