// Package answer builds response bodies that identify their request, and
// verifies that a body is complete and belongs to the expected request.
package answer
