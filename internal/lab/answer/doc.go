// Package answer builds answer bodies that name the request they belong to,
// and checks that a body is whole and answers the right request.
package answer
