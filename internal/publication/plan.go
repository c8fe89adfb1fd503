package publication

import (
	"reflect"
	"slices"
	"strings"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/stream"
)

// Effect says what a plan does to the contract of one customer.
type Effect uint8

// Effects.
const (
	Add    Effect = iota + 1 // the customer gets its first contract
	Change                   // the contract changes
	Remove                   // the contract ends
	Keep                     // the contract is not in the directory and stays
)

var effects = [...]string{"unknown", "add", "change", "remove", "keep"}

// String returns the word for e that plans show.
func (e Effect) String() string { return effects[e] }

// Step is what a plan does to one customer.
type Step struct {
	Customer string
	Effect   Effect
	Document contract.Document // the new contract, if any
}

// Plan is what a directory would change.
type Plan struct {
	Version stream.Position // version that the plan was made from
	Steps   []Step          // by customer
}

// IsEmpty reports whether the plan changes nothing.
func (p Plan) IsEmpty() bool {
	return !slices.ContainsFunc(p.Steps, func(s Step) bool { return s.Effect != Keep })
}

// Compare returns what has to change in state so that the documents are in
// force. Contracts of other customers end only if prune is set.
func Compare(state *declarations.State, documents []contract.Document, prune bool) Plan {
	p := Plan{Version: state.Version()}
	listed := make(map[string]bool)
	for _, d := range documents {
		listed[d.Customer] = true
		old, ok := state.Contract(d.Customer)
		switch {
		case !ok:
			p.Steps = append(p.Steps, Step{Customer: d.Customer, Effect: Add, Document: d})
		case !reflect.DeepEqual(old.Document(), d):
			p.Steps = append(p.Steps, Step{Customer: d.Customer, Effect: Change, Document: d})
		}
	}
	effect := Keep
	if prune {
		effect = Remove
	}
	for c := range state.Contracts {
		if !listed[c.Customer()] {
			p.Steps = append(p.Steps, Step{Customer: c.Customer(), Effect: effect})
		}
	}
	slices.SortFunc(p.Steps, func(a, b Step) int { return strings.Compare(a.Customer, b.Customer) })
	return p
}
