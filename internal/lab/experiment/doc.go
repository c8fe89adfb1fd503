// Package experiment runs a deployment behind one variant of the proxy
// through steady load, a disturbance and the recovery from it.
package experiment
