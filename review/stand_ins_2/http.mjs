/** Small helpers for HTTP servers and clients with JSON bodies. */
import {request as httpRequest} from 'node:http';

export function listen(server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server.address().port));
  });
}

export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

export function sendJson(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Resolves to {status, body}; status is 0 without a complete answer. */
export function call(address, method, path, {body, headers = {}, timeoutMillis = 3_000} = {}) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const request = httpRequest({
      host, port, method, path, agent: false, timeout: timeoutMillis,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
        ...headers,
      },
    });
    const timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeoutMillis);
    request.on('error', error => {
      clearTimeout(timer);
      resolve({status: 0, body: error.message, headers: {}});
    });
    request.on('response', async response => {
      try {
        const received = await readBody(response);
        clearTimeout(timer);
        resolve({status: response.statusCode, body: received, headers: response.headers});
      } catch (error) {
        resolve({status: 0, body: error.message, headers: {}});
      }
    });
    request.end(text);
  });
}
