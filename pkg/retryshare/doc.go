// Package retryshare bounds the repeats of all requests to a service by shares that the
// nodes beside its servers spend without asking each other.
package retryshare
