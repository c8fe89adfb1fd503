package document

import (
	"errors"
	"os"
	"regexp"
	"strconv"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxSize bounds the bytes of a document.
const maxSize = 16 << 20

// maxDepth bounds the nesting of a document.
const maxDepth = 64

// Checker is a document with rules that span several fields. Check reports each
// broken rule with the path of the field, like calls[2].path.
type Checker interface {
	Check(report func(field, reason string))
}

// Load reads and decodes a file. The error is of type Faults, or that of the
// file system.
func Load[T any](file string) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		var zero T
		return zero, err
	}
	return Decode[T](file, data)
}

// Decode decodes data, which was read from file. The fields of T are found by
// their json tags and checked by their validate tags and, if *T is a Checker,
// by its rules. A field that T does not have is a fault. The error is of type
// Faults and lists all faults that were found.
func Decode[T any](file string, data []byte) (T, error) {
	var target T
	r := &reader{file: file, data: data, lines: make(map[string]int)}
	root, ok := r.parse()
	if ok {
		r.fill(root, &target)
	}
	if len(r.faults) > 0 {
		r.faults.sort()
		return target, r.faults
	}
	return target, nil
}

// Fields returns the names of the fields at the top of a document, as far as
// it can be read.
func Fields(data []byte) []string {
	r := &reader{data: data}
	root, ok := r.parse()
	if !ok {
		return nil
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	var names []string
	for _, m := range object.Members {
		names = append(names, nameOf(m))
	}
	return names
}

// place is the form in which the parser reports the place of an error.
var place = regexp.MustCompile(`^hujson: line (\d+), column \d+: `)

// parse returns the root of the document, or notes a fault.
func (r *reader) parse() (hujson.Value, bool) {
	switch {
	case len(r.data) > maxSize:
		r.fault(0, "", "longer than 16 MiB")
		return hujson.Value{}, false
	case !utf8.Valid(r.data):
		r.fault(0, "", "not valid UTF-8")
		return hujson.Value{}, false
	case isTooDeep(r.data):
		r.fault(0, "", "nested more than 64 levels deep")
		return hujson.Value{}, false
	}
	root, err := hujson.Parse(r.data)
	if err == nil {
		return root, true
	}
	text, line := err.Error(), 0
	if found := place.FindStringSubmatch(text); found != nil {
		line, _ = strconv.Atoi(found[1])
		text = text[len(found[0]):]
	}
	r.fault(line, "", text)
	return hujson.Value{}, false
}

// isTooDeep reports whether data may be nested so deeply that the parser, which
// is recursive, would use a lot of stack. Brackets in strings and comments
// count too, but closing ones make up for opening ones there.
func isTooDeep(data []byte) bool {
	depth := 0
	for _, c := range data {
		switch c {
		case '{', '[':
			depth++
		case '}', ']':
			depth = max(depth-1, 0)
		}
		if depth > maxDepth {
			return true
		}
	}
	return false
}

// AsFaults returns the faults in err, if it is of that type.
func AsFaults(err error) (Faults, bool) {
	var f Faults
	ok := errors.As(err, &f)
	return f, ok
}
