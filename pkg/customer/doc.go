// Package customer describes the customers on whose behalf clients send requests.
package customer
