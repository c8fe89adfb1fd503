package contract

import (
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
)

// validate checks documents by the tags of their fields.
var validate = validator.New(validator.WithRequiredStructEnabled())

// Validate returns a *RuleError if d is not a valid contract.
func (d *Document) Validate() error {
	if err := validate.Struct(d); err != nil {
		return &RuleError{customer: d.Customer, reason: err.Error()}
	}
	var violation error
	d.Check(func(field, reason string) {
		if violation == nil {
			violation = &RuleError{customer: d.Customer, reason: field + " " + reason}
		}
	})
	return violation
}

// Check reports the violations of rules that span several fields.
func (d *Document) Check(report func(field, reason string)) {
	names := make(map[string]int)
	for i, call := range d.Calls {
		if first, ok := names[call.Name]; ok {
			report(fmt.Sprintf("calls[%d].name", i), fmt.Sprintf("is also the name of calls[%d]", first))
			continue
		}
		names[call.Name] = i
	}
	for i := range d.Calls {
		if first, ok := d.shadowedBy(i); ok {
			report(fmt.Sprintf("calls[%d].path", i), fmt.Sprintf("is never reached, since calls[%d] matches the same calls first", first))
		}
	}
}

// shadowedBy returns the index of the first call before i that matches every
// call that i matches.
func (d *Document) shadowedBy(i int) (int, bool) {
	call := d.Calls[i]
	for first, c := range d.Calls[:i] {
		if c.Service == call.Service && (c.Method == "" || c.Method == call.Method) && strings.HasPrefix(call.Path, c.Path) {
			return first, true
		}
	}
	return 0, false
}

// RuleError reports a document that is not a valid contract.
type RuleError struct {
	customer string
	reason   string
}

// Error states the customer and the violated rules.
func (e *RuleError) Error() string {
	return fmt.Sprintf("contract of customer %q: %s", e.customer, e.reason)
}
