/** Helpers for HTTP messages with JSON bodies. */
import {request as httpRequest} from 'node:http';

export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

export function send(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/**
 * Sends a call on a connection of its own. Resolves to the status and the text
 * of the answer; the status is 0 without an answer in time.
 */
export function call({address, method, path, host, body, timeoutMillis}) {
  const [hostname, port] = address.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise(resolve => {
    const outgoing = httpRequest(
      {
        hostname,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: {
          host: host ?? address,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
        },
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('end', () =>
          resolve({
            status: response.statusCode,
            text: Buffer.concat(chunks).toString('utf8'),
          }),
        );
        response.on('error', () => resolve({status: 0, text: ''}));
      },
    );
    outgoing.setTimeout(timeoutMillis, () => outgoing.destroy());
    outgoing.on('error', error => resolve({status: 0, text: error.message}));
    outgoing.end(text);
  });
}
