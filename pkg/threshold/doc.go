// Package threshold keeps an admission threshold that another node told.
package threshold
