// Package quota admits the requests of one customer at an entry node, by tokens that the
// allocators of the customer's limit grant.
package quota
