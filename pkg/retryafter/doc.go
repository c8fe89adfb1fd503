// Package retryafter decides when a client whose request was refused is asked to
// come back.
package retryafter
