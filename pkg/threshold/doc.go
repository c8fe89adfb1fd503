// Package threshold estimates the admission threshold of another node.
package threshold
