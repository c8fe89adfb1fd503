// Package standin holds stand-ins for the platform, the backend servers and the
// clients of a small deployment on loopback addresses. The nodes are processes of
// the project's own program.
package standin
