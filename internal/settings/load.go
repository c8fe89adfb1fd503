package settings

import "github.com/papayapath/papayapath/internal/document"

// Load reads a settings file. The error is of type document.Faults, or that of
// the file system.
func Load(file string) (*Settings, error) {
	s, err := document.Load[Settings](file)
	if err != nil {
		return nil, err
	}
	return &s, nil
}
