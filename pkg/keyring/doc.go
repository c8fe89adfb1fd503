// Package keyring finds the customer that holds an API key.
package keyring
