package contract

import (
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
)

// rules checks documents by the tags of their fields.
var rules = validator.New(validator.WithRequiredStructEnabled())

// Valid returns a *RuleError if d breaks a rule for contracts.
func (d *Document) Valid() error {
	if err := rules.Struct(d); err != nil {
		return &RuleError{customer: d.Customer, reason: err.Error()}
	}
	var broken error
	d.Check(func(field, reason string) {
		if broken == nil {
			broken = &RuleError{customer: d.Customer, reason: field + " " + reason}
		}
	})
	return broken
}

// Check reports the rules that d breaks and that span several fields.
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
		if first, ok := d.hider(i); ok {
			report(fmt.Sprintf("calls[%d].path", i), fmt.Sprintf("is never reached, since calls[%d] matches the same calls first", first))
		}
	}
}

// hider returns the first call before i that matches everything that i does.
func (d *Document) hider(i int) (int, bool) {
	call := d.Calls[i]
	for first, c := range d.Calls[:i] {
		if c.Service == call.Service && (c.Method == "" || c.Method == call.Method) && strings.HasPrefix(call.Path, c.Path) {
			return first, true
		}
	}
	return 0, false
}

// RuleError reports a document that is no valid contract.
type RuleError struct {
	customer string
	reason   string
}

// Error names the customer and the broken rules.
func (e *RuleError) Error() string {
	return fmt.Sprintf("contract of customer %q: %s", e.customer, e.reason)
}
