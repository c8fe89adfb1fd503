// Package keys holds the certificate of a node and the authority that signs
// the certificates of the other nodes.
package keys
