// Package optimum works out the greatest worth that a deployment can earn at a
// load: its services have so many slots, and each class of requests takes so
// much of them, its calls included.
package optimum
