package publication

import (
	"fmt"
	"path/filepath"

	"github.com/papayapath/papayapath/internal/document"
	"github.com/papayapath/papayapath/pkg/contract"
)

// pattern matches the contract files in a directory.
const pattern = "*.json"

// Load reads the contracts in a directory. The error joins the faults of all
// files; it is an *EmptyError if there is no file, and a *DuplicateError if
// two files are about the same customer.
func Load(folder string) ([]contract.Document, error) {
	files, err := filepath.Glob(filepath.Join(folder, pattern))
	if err != nil || len(files) == 0 {
		return nil, &EmptyError{folder: folder}
	}
	var documents []contract.Document
	var faults document.Faults
	owners := make(map[string]string)
	for _, file := range files {
		d, err := document.Load[contract.Document](file)
		if found, ok := document.AsFaults(err); ok {
			faults = append(faults, found...)
			continue
		}
		if err != nil {
			return nil, err
		}
		if other, ok := owners[d.Customer]; ok {
			return nil, &DuplicateError{customer: d.Customer, files: [2]string{other, file}}
		}
		owners[d.Customer] = file
		documents = append(documents, d)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return documents, nil
}

// EmptyError reports a directory without contract files.
type EmptyError struct{ folder string }

// Error names the directory.
func (e *EmptyError) Error() string { return fmt.Sprintf("%s: no files %s", e.folder, pattern) }

// DuplicateError reports two files about the same customer.
type DuplicateError struct {
	customer string
	files    [2]string
}

// Error names the files.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s and %s are both about customer %s", e.files[0], e.files[1], e.customer)
}
