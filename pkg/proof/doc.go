// Package proof decides what the response of a backend server proves about its request, and
// whether a caller may get it.
package proof
