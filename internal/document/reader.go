package document

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// reader walks over a document and a Go value at the same time.
type reader struct {
	file   string
	data   []byte
	faults Faults
	lines  map[string]int // lines of the fields that are present
	broken map[string]bool
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// fill decodes root into target, which is a pointer, and checks it.
func (r *reader) fill(root hujson.Value, target any) {
	r.broken = make(map[string]bool)
	r.value(root, "", reflect.ValueOf(target).Elem())
	r.validate(target)
	if c, ok := target.(Checker); ok {
		c.Check(func(field, reason string) { r.rule(field, reason) })
	}
}

func (r *reader) fault(line int, field, reason string) {
	r.faults = append(r.faults, &Fault{file: r.file, line: line, field: field, reason: reason})
}

// rule notes a broken rule, unless the field could not even be decoded.
func (r *reader) rule(field, reason string) {
	for path := field; path != ""; path = parent(path) {
		if r.broken[path] {
			return
		}
	}
	r.fault(r.line(field), field, reason)
}

// line returns the line of a field or, if it is missing, of what it belongs to.
func (r *reader) line(field string) int {
	for ; field != ""; field = parent(field) {
		if line, ok := r.lines[field]; ok {
			return line
		}
	}
	return r.lines[""]
}

// refuse notes a fault in a value that can't be decoded.
func (r *reader) refuse(path, reason string) {
	r.broken[path] = true
	r.fault(r.lines[path], path, reason)
}

func (r *reader) value(v hujson.Value, path string, target reflect.Value) {
	r.lines[path] = 1 + bytes.Count(r.data[:v.StartOffset], []byte("\n"))
	isText := target.Addr().Type().Implements(textType)
	switch {
	case !isText && target.Kind() == reflect.Struct:
		r.object(v, path, target)
	case !isText && target.Kind() == reflect.Slice:
		r.array(v, path, target)
	default:
		r.literal(v, path, target)
	}
}

func (r *reader) object(v hujson.Value, path string, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.refuse(path, "must be an object")
		return
	}
	fields := fieldsOf(target.Type())
	seen := make(map[string]bool)
	for _, m := range object.Members {
		name := nameOf(m)
		child := join(path, name)
		index, known := fields[name]
		switch {
		case !known:
			r.fault(1+bytes.Count(r.data[:m.Name.StartOffset], []byte("\n")), child, "unknown field")
		case seen[name]:
			r.fault(1+bytes.Count(r.data[:m.Name.StartOffset], []byte("\n")), child, "appears twice")
		default:
			r.value(m.Value, child, target.Field(index))
		}
		seen[name] = true
	}
}

func (r *reader) array(v hujson.Value, path string, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.refuse(path, "must be an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, e := range array.Elements {
		r.value(e, fmt.Sprintf("%s[%d]", path, i), target.Index(i))
	}
}

func (r *reader) literal(v hujson.Value, path string, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		r.refuse(path, "must be "+kindOf(target))
		return
	}
	err := json.Unmarshal(literal, target.Addr().Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		r.refuse(path, "must be "+kindOf(target))
	case err != nil:
		r.refuse(path, err.Error())
	}
}

// validate checks the rules in the tags of the fields.
func (r *reader) validate(target any) {
	if reflect.TypeOf(target).Elem().Kind() != reflect.Struct {
		return
	}
	var broken validator.ValidationErrors
	if !errors.As(rules.Struct(target), &broken) {
		return
	}
	for _, b := range broken {
		_, field, _ := strings.Cut(b.Namespace(), ".")
		r.rule(field, describe(b))
	}
}

func nameOf(m hujson.ObjectMember) string {
	name, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return name.String()
}

// fieldsOf returns the indices of the fields of a struct by their json names.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int)
	for i := range t.NumField() {
		if name := tagName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

func tagName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// parent returns the path of what the field belongs to.
func parent(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

// kindOf returns the words for what a field must hold.
func kindOf(target reflect.Value) string {
	if target.Addr().Type().Implements(textType) {
		return "a string"
	}
	switch target.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number in range"
	}
}
