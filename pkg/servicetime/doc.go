// Package servicetime estimates the service times of a backend server by kind of
// request, and by how much the server is slower at present than usual.
package servicetime
