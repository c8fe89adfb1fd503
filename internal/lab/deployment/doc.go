// Package deployment describes the deployments of the experiments: services,
// servers, call chains, customers and their contracts, with the sizes of
// section 1 of the design divided by ten.
package deployment
