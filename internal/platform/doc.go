// Package platform is the client of the platform log, which keeps records in
// streams and is reached by HTTP.
package platform
