// Package priority orders requests for admission.
package priority
