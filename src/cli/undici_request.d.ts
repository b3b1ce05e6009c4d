/** The function that sends one request, without the rest of the package. */
declare module 'undici/lib/api/api-request.js' {
  import type {Dispatcher} from 'undici';
  export default function request(
    this: Dispatcher,
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData>;
}
