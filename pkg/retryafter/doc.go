// Package retryafter computes the delay after which a client should retry a
// rejected request.
package retryafter
