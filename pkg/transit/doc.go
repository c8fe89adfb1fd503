// Package transit estimates by how much a message was delayed on its way.
package transit
