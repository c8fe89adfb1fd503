// Package process runs nodes as processes of their own, so that tests can
// stop, continue and kill them.
package process
