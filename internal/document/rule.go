package document

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// rules checks values by their validate tags and names fields like the file.
var rules = newRules()

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return tagName(f) })
	return v
}

// texts says for each rule in use what a value must be. %s is the parameter.
var texts = map[string]string{
	"required":         "is required",
	"hostname_rfc1123": "must consist of letters, digits, hyphens and dots",
	"startswith":       "must start with %s",
	"oneof":            "must be one of %s",
	"http_url":         "must be an http or https URL",
	"gt":               "must be more than %s",
	"gte":              "must be at least %s",
	"lte":              "must be at most %s",
	"min":              "must have a length of at least %s",
	"max":              "must have a length of at most %s",
}

// describe says which rule a field breaks.
func describe(e validator.FieldError) string {
	text, ok := texts[e.Tag()]
	if !ok {
		return "breaks the rule " + e.Tag()
	}
	if !strings.Contains(text, "%s") {
		return text
	}
	return fmt.Sprintf(text, bound(e))
}

// bound returns the parameter of a rule in the unit of the file. The bounds of
// time spans are written in nanoseconds.
func bound(e validator.FieldError) string {
	value := reflect.New(e.Type())
	text, isText := value.Interface().(fmt.Stringer)
	if !isText || e.Kind() != reflect.Int64 {
		return e.Param()
	}
	var n int64
	if _, err := fmt.Sscan(e.Param(), &n); err != nil {
		return e.Param()
	}
	value.Elem().SetInt(n)
	return text.String()
}
