// Package notice describes what a backend server says of itself in a response.
package notice
