// Package action defines the operations that the decision code requests from
// its adapters.
package action
