// Package distribution learns the distribution of positive values, such as service
// times, and answers how likely a value is exceeded and how much of it remains.
package distribution
