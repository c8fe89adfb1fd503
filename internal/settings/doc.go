// Package settings defines the settings of a node.
package settings
