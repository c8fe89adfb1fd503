// Package dispatcher decides on the caller side of a call: to which server it
// goes, when it is sent again and how it ends.
package dispatcher
