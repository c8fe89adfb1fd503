// Package limiter learns how many calls a backend server can run at once.
package limiter
