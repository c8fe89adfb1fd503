// Package experiment runs a deployment behind one proxy variant under steady
// load, during a disturbance and during the recovery.
package experiment
