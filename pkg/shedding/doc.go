// Package shedding measures which part of its requests a server sheds.
package shedding
