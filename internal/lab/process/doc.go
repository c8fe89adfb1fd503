// Package process runs nodes as separate processes, so that tests can suspend,
// resume and kill them.
package process
