// Package admission decides which priorities a server admits.
package admission
