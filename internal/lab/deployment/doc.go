// Package deployment describes the deployments of the experiments: services,
// servers, call chains, customers and their contracts. The sizes are those of
// section 1 of the design divided by ten.
package deployment
