// Package roster tracks the load of the backend servers that a node can offer
// requests to and balances requests among them.
package roster
