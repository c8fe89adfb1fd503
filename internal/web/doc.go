// Package web runs an HTTP application on a TCP address.
package web
