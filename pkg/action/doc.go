// Package action defines what the decision code asks its adapters to do.
package action
