// Package queue keeps calls in order of priority while they wait.
package queue
