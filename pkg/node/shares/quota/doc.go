// Package quota holds one node to its share of a customer's rate.
package quota
