package contract

import (
	"fmt"

	"github.com/go-playground/validator/v10"
)

// rules checks documents by the tags of their fields.
var rules = validator.New(validator.WithRequiredStructEnabled())

// Check returns a *RuleError if d breaks a rule for contracts.
func (d *Document) Check() error {
	if err := rules.Struct(d); err != nil {
		return &RuleError{customer: d.Customer, cause: err}
	}
	return nil
}

// RuleError reports a document that is no valid contract.
type RuleError struct {
	customer string
	cause    error
}

// Error names the customer and the broken rules.
func (e *RuleError) Error() string {
	return fmt.Sprintf("contract of customer %q: %v", e.customer, e.cause)
}

// Unwrap returns the error of the validator.
func (e *RuleError) Unwrap() error { return e.cause }
